/**
 * Messages between the controllers of one deployment.
 *
 * <p>Duty: keeps one TCP connection to each other controller, and encodes and decodes what is sent
 * on it. All messages are hints, for example that the state service has something new to read.
 * Losing any of them costs time, and never correctness. Owns: the peer connections, and the wire
 * format with its version.
 *
 * <p>May depend on: {@code eventloop} and {@code settings}.
 */
package org.ploverspindle.peers;
