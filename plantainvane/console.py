"""The web page for operators: forms generated from the JSON Schemas.

The page needs no scripts from other hosts.
"""

import importlib.resources

from plantainvane import asgi

# File name and media type by request path.
FILES = {
    "/": ("console.html", "text/html; charset=utf-8"),
    "/console.js": ("console.js", "text/javascript; charset=utf-8"),
    "/console.css": ("console.css", "text/css; charset=utf-8"),
}

# Lets the browser load from and connect to this address only.
_HEADERS = (
    (
        b"content-security-policy",
        b"default-src 'self'; img-src 'self' data:; form-action 'none'",
    ),
    (b"x-frame-options", b"DENY"),
    (b"cache-control", b"no-cache"),
)


async def serve_file(request: asgi.HttpRequest) -> asgi.HttpReply:
    """Serves a file of the page; `request.path` must be a key of `FILES`."""
    name, content_type = FILES[request.path]
    file = importlib.resources.files("plantainvane") / name
    return asgi.HttpReply(200, file.read_bytes(), content_type, _HEADERS)
