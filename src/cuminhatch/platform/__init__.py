"""
Adapter to the platform on which ``cuminhatch-gateway`` runs.

Translates the platform's names, formats and APIs into the types of this
project, and contains no load-balancing logic.
"""
