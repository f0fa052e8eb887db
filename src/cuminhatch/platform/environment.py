"""What the platform gives a process through its environment."""

# Path of the settings file, which the platform renders from our template.
SETTINGS_VARIABLE = "CUMINHATCH_NODE_FILE"
