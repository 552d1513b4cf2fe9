"""The platform's service and the documents of operators that lie in it."""
