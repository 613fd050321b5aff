/**
 * Messages between the controllers of one deployment.
 *
 * <p>Duty: keeps one TCP connection to each other controller, and encodes and decodes what is sent
 * on it. All messages are hints: each says that the state service has something new to read. Losing
 * any of them costs time and never correctness. Owns: the peer connections, the wire format and its
 * version.
 *
 * <p>May depend on: {@code eventloop} and {@code settings}.
 */
package org.ploverspindle.peers;
