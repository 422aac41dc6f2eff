"""Adapter to the users' platform: translates its wire and settings."""
