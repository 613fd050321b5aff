/**
 * The election of a leader, and the leader's work during one term.
 *
 * <p>Responsibility: {@link Election} acquires and renews the lease on the leader key. In each term
 * for which this controller is elected, {@link Leader} restores jobs and placements from the
 * records of earlier leaders, then handles heartbeats, places tasks, and has machines provisioned
 * and terminated until the term ends. {@link LeaderComponents} shows all components of a leader and
 * what each of them uses. Owns: the current term with its fencing tokens, and all objects that
 * exist for one term.
 *
 * <p>Allowed dependencies: everything except {@code api}, {@code controller}, {@code peers} and
 * {@code cli}.
 */
package org.ploverspindle.leadership;
