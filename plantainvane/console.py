"""The operators' page: forms made from the schemas, without outside scripts."""

import importlib.resources

from plantainvane import asgi

# File and media type by path.
FILES = {
    "/": ("console.html", "text/html; charset=utf-8"),
    "/console.js": ("console.js", "text/javascript; charset=utf-8"),
    "/console.css": ("console.css", "text/css; charset=utf-8"),
}

# The browser loads and contacts nothing but this address.
_HEADERS = (
    (
        b"content-security-policy",
        b"default-src 'self'; img-src 'self' data:; form-action 'none'",
    ),
    (b"x-frame-options", b"DENY"),
    (b"cache-control", b"no-cache"),
)


async def serve_file(request: asgi.HttpRequest) -> asgi.HttpReply:
    """Serves a file of the page; `request.path` is a key of `FILES`."""
    name, content_type = FILES[request.path]
    file = importlib.resources.files("plantainvane") / name
    return asgi.HttpReply(200, file.read_bytes(), content_type, _HEADERS)
