/**
 * Users' requests over HTTP.
 *
 * <p>Responsibility: routes, limits and prioritizes requests; checks and accepts submissions;
 * records cancellations; answers queries about jobs from the replica once the replica is as recent
 * as the request. Nothing is acknowledged before it is durable. Owns: the listening socket for
 * users and workers, the wire form of submissions ({@code SubmissionCodec}) and of responses
 * ({@code ResponseCodec}).
 *
 * <p>Allowed dependencies: {@code state}, {@code cluster}, {@code pipelines}, {@code model}, {@code
 * net}, {@code eventloop}, {@code settings}. Does not know which controller leads: every controller
 * answers users.
 */
package org.ploverspindle.api;
