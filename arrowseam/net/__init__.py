"""The network side of arrowseam."""
