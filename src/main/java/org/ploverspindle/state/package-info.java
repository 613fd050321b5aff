/**
 * The state service and the records that are kept in it.
 *
 * <p>Duty: the client of the state service ({@link org.ploverspindle.state.StateStore StateStore}),
 * the local replica that follows it, the encoding of each stored record, and the request and write
 * budgets. Owns: the names of all keys ({@link org.ploverspindle.state.Keys Keys}), the names of
 * stored fields and values, and the versions of the formats. Records of earlier versions can be
 * read; stored bytes don't depend on names in code.
 *
 * <p>May depend on: {@code net}, {@code eventloop}, and the values that are stored ({@code model}).
 * Decides nothing.
 */
package org.ploverspindle.state;
