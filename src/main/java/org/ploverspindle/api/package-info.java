/**
 * Users' requests over HTTP.
 *
 * <p>Duty: routes, limits and ranks requests; checks and accepts submissions; records
 * cancellations; answers questions about jobs from the replica once that is as new as the question.
 * Nothing is answered before it is durable. Owns: the listening socket for users and workers, the
 * wire names of submissions ({@code SubmissionCodec}).
 *
 * <p>May depend on: {@code state}, {@code cluster}, {@code pipelines}, {@code model}, {@code net},
 * {@code eventloop}, {@code settings}. Knows no leader: every controller answers users.
 */
package org.ploverspindle.api;
