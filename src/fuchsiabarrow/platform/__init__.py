"""Translation between the users' platform and this package; nothing else.

Only these modules know the platform's names. Each decodes them into the types
of the package, with a comment where a name misleads.
"""
