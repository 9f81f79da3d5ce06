"""Every ordinary decision of a governor."""
