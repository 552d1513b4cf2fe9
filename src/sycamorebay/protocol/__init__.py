"""Protocol layer: messages on the wire and their codecs; no decisions."""
