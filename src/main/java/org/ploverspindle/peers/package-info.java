/**
 * Messages between the controllers of one deployment.
 *
 * <p>Responsibility: keeps one outgoing TCP connection to each other controller, and encodes and
 * decodes the messages. All messages are hints, for example that there are new records to read in
 * the state service. The loss of a message can delay a reaction, but never makes a decision
 * incorrect. Owns: the peer connections, and the wire format with its version.
 *
 * <p>Allowed dependencies: {@code eventloop} and {@code settings}.
 */
package org.ploverspindle.peers;
