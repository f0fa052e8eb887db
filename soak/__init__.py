"""
Random faults on real processes, while callers watch the promises.

``python -m soak --seed N`` runs one seed; see ``docs/proofs.md``.
"""
