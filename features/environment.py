"""Start the sites that features use, and stop them afterwards."""

from standins.platform_site import PlatformSite
from standins.proxy import Proxy
from standins.site import Layout, Site


def start_site(context, layout: Layout | None = None) -> Site:
    """Start a site that is stopped when the calling scenario or feature ends."""
    site = Site(layout or Layout())
    context.add_cleanup(site.stop)
    context.site = site
    site.start()
    return site


def start_platform(context, *, proxy: Proxy | None = None, **sizes) -> PlatformSite:
    """Start the platform's stand-ins and the nodes; the caller's end stops them.

    With a ``proxy``, each node's connection to the store and the connections to each
    worker go through separate links of the proxy.
    """
    site = PlatformSite(**sizes)
    if proxy is not None:
        site.route_through(proxy)
    context.add_cleanup(site.stop)
    context.platform = site
    site.start()
    return site


def before_feature(context, feature):
    """Start the site that a feature's ``@site`` or ``@platform`` tag asks for."""
    if "site" in feature.tags:
        start_site(context)
    if "platform" in feature.tags:
        start_platform(context)
