/**
 * Outgoing HTTP requests and CBOR bodies.
 *
 * <p>Responsibility: sends a request to one target within a time limit, and tells whether the
 * request was answered, was possibly executed without a usable response, or was never sent. Reads
 * and writes CBOR trees. Owns: the connections to each target, and the bounded queue of requests
 * that wait for a connection. Does not interpret the requests.
 *
 * <p>Allowed dependencies: {@code eventloop}, on which outcomes are delivered.
 */
package org.ploverspindle.net;
