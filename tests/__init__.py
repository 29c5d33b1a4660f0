"""Guard what the project promises."""
