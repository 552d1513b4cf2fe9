"""Links between entries, and what is told over them."""
