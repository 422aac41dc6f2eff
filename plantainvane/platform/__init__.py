"""Adapters to the users' platform: its wire formats and its settings."""
