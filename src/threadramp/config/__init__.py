"""Settings, resources and the findings that checking them collects."""
