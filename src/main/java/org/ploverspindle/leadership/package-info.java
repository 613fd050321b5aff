/**
 * The election of a leader, and the leader's work during one term.
 *
 * <p>Duty: {@link Election} takes and renews the lease on the leader key. For each term that this
 * controller is elected for, {@link Leader} rebuilds jobs and placements from the records of
 * earlier leaders, then handles heartbeats, places tasks and has machines added and terminated
 * until the term ends. {@link LeaderComponents} shows all parts of a leader and what each of them
 * uses. Owns: the current term with its fencing tokens, and all objects that live for one term.
 *
 * <p>May depend on: everything except {@code api}, {@code controller}, {@code peers} and {@code
 * cli}.
 */
package org.ploverspindle.leadership;
