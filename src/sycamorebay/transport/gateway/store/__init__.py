"""The gateway's side towards the store: changes, listings and what they concern."""
