"""Adapter between the hosting platform and this package; decides nothing.

Only these modules use the platform's headers, paths and field names. Each
translates them into the package's own types, with a comment where a platform
name is misleading.
"""
