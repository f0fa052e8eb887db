"""Shares registrations and configuration between the instances."""

from cuminhatch.services.catalog._view import PORT_NAME
from cuminhatch.services.catalog.service import CatalogService

__all__ = ["PORT_NAME", "CatalogService"]
