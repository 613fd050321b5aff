/**
 * The state service and the records that are kept in it.
 *
 * <p>Duty: the client of the state service ({@link org.ploverspindle.state.StateStore StateStore}),
 * the local replica that follows it, the encoding of each stored record, and the request and write
 * budgets. Owns: the names of all keys ({@link org.ploverspindle.state.Keys Keys}), the names of
 * stored fields, and the formats' versions. Records of earlier versions are read as well; stored
 * bytes never change by a renaming in code.
 *
 * <p>May depend on: {@code net}, {@code eventloop}, and the values that are stored ({@code model}).
 * Decides nothing.
 */
package org.ploverspindle.state;
