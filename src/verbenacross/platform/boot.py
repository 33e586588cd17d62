"""What the platform gives a process at its start."""

# Holds the path of the settings file, written from the template of the deploy file.
SETTINGS_VARIABLE = "VERBENACROSS_BOOT"
