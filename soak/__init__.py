"""
Random faults on real processes, with checks of what the callers received.

``python -m soak --seed N`` runs one seed; see ``docs/proofs.md``.
"""
