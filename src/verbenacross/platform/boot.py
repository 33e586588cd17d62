"""The environment that the platform passes to a process at start-up."""

# Path of the settings file, which is rendered from the template of the deploy file.
SETTINGS_VARIABLE = "VERBENACROSS_BOOT"
