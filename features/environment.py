"""Start a site for the features that ask for one, and stop it after each."""

from standins.platform_site import PlatformSite
from standins.proxy import Proxy
from standins.site import Layout, Site


def start_site(context, layout: Layout | None = None) -> Site:
    """Start a site that ends with the scenario or feature that asked for it."""
    site = Site(layout or Layout())
    context.add_cleanup(site.stop)
    context.site = site
    site.start()
    return site


def start_platform(context, *, proxy: Proxy | None = None, **sizes) -> PlatformSite:
    """Start the platform's stand-ins and nodes for as long as the caller lives.

    With a ``proxy``, each node reaches the store, and all reach each worker, through
    a link of their own.
    """
    site = PlatformSite(**sizes)
    if proxy is not None:
        site.route_through(proxy)
    context.add_cleanup(site.stop)
    context.platform = site
    site.start()
    return site


def before_feature(context, feature):
    """Start one site for a whole feature tagged ``@site``."""
    if "site" in feature.tags:
        start_site(context)
    if "platform" in feature.tags:
        start_platform(context)
