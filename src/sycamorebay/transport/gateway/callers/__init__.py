"""The gateway's side towards callers: connections, requests and the room that they take."""
