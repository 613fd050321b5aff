package org.ploverspindle.settings;

/**
 * An IPv4 address and a port, written as in {@code 10.0.0.1:8080}.
 *
 * @param host the IPv4 address in dotted decimal notation; no host name
 */
public record Address(String host, int port) {
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
