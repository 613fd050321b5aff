/**
 * Outgoing HTTP requests and CBOR bodies.
 *
 * <p>Duty: sends a request to one target within a time limit and reports whether it was answered,
 * possibly executed without a response, or never sent; reads and writes CBOR trees. Owns: the
 * connections to each target and the bounded queue of requests that wait for one. Does not know
 * what the requests mean.
 *
 * <p>May depend on: {@code eventloop}, on which outcomes are delivered.
 */
package org.ploverspindle.net;
