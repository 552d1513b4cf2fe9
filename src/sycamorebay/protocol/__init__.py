"""Protocol layer: wire and storage formats with their codecs; it makes no decisions."""
