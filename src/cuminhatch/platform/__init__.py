"""
Adapter to the users' platform.

Translates the platform's names, formats and APIs into the types of this
project, and makes no decisions.
"""
