package org.ploverspindle.settings;

/**
 * A network address, such as {@code 10.0.0.1:8080}.
 *
 * @param host an IP number
 */
public record Address(String host, int port) {
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
