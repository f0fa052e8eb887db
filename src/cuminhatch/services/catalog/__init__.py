"""Knows the registered servers and the configuration, and tells the others."""

from cuminhatch.services.catalog._view import PORT_NAME
from cuminhatch.services.catalog.service import CatalogService

__all__ = ["PORT_NAME", "CatalogService"]
