/**
 * The client of the state service and the records that are stored in it.
 *
 * <p>Responsibility: the client of the state service ({@link org.ploverspindle.state.StateStore
 * StateStore}), the local replica that follows it, the encoding of each stored record, and the
 * request and write budgets. Owns: the names of all keys ({@link org.ploverspindle.state.Keys
 * Keys}), the names of stored fields and values, and the versions of the storage formats. Records
 * of earlier versions can be read. Stored bytes do not depend on names in the code. This package
 * makes no scheduling decisions.
 *
 * <p>Allowed dependencies: {@code net}, {@code eventloop}, and {@code model}, which contains the
 * values that are stored.
 */
package org.ploverspindle.state;
