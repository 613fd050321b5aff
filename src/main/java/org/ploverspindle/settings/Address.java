package org.ploverspindle.settings;

/** An IP number and a port, such as {@code 10.0.0.1:8080}. */
public record Address(String host, int port) {
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
