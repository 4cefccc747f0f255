package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method the method, not null
 * @param target the request target as it was sent, not null
 * @param headers the headers as they were sent, not null
 * @param body the body, not null; its owner is the handler of the request
 * @param arrivedNanos the monotonic time at which the head arrived
 */
public record IncomingRequest(HttpMethod method, String target, HttpHeaders headers, ByteBuf body, long arrivedNanos) {
}
