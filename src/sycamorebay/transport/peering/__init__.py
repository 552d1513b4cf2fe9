"""Links between entries, and the messages that they exchange."""
