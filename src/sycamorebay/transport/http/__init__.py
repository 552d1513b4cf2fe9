"""HTTP/1.1 connections of callers and operators: what the listeners of both daemons share."""
