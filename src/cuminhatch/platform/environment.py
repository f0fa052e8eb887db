"""The environment variable that the platform sets for a process."""

# Path of the settings file, which the platform renders from a template of this
# project.
SETTINGS_VARIABLE = "CUMINHATCH_NODE_FILE"
