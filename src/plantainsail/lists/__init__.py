"""The published lists: model, parsing, revisions and distribution."""
