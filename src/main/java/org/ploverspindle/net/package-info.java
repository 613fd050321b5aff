/**
 * Outgoing HTTP requests and CBOR bodies.
 *
 * <p>Duty: sends a request to one target within a time limit and reports whether it was answered,
 * possibly executed without an answer, or never sent; reads and writes CBOR trees. Owns: the
 * connections to each target and the bounded queue of requests that wait for one. Knows nothing of
 * what the requests mean.
 *
 * <p>May depend on: {@code eventloop}, on which replies arrive.
 */
package org.ploverspindle.net;
