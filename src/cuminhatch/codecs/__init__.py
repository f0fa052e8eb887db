"""Encoding and decoding of messages; no sockets, no decisions."""
