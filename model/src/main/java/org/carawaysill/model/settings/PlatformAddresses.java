package org.carawaysill.model.settings;

import org.carawaysill.model.identity.NetworkAddress;

/**
 * The addresses of the platform's services.
 *
 * <p>Immutable and thread safe.
 *
 * @param configuration the configuration service, HTTP
 * @param vmList the list of VMs, HTTP
 */
public record PlatformAddresses(NetworkAddress configuration, NetworkAddress vmList) {}
