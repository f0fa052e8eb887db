"""Enforces the quotas of teams over all instances."""

from cuminhatch.services.quota._gate import QuotaGate
from cuminhatch.services.quota.service import NAME, QuotaService

__all__ = ["NAME", "QuotaGate", "QuotaService"]
