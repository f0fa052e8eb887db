"""Encoders and decoders of messages and files, without I/O."""
