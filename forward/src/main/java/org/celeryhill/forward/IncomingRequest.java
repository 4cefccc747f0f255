package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request of a caller whose body has been read completely.
 *
 * @param method the method, not null
 * @param target the request target as received, not null
 * @param headers the headers as received, not null
 * @param body the body, not null; the request handler must release it
 * @param arrivedNanos the time at which the headers arrived, from
 * {@link System#nanoTime()}
 */
public record IncomingRequest(HttpMethod method, String target, HttpHeaders headers, ByteBuf body, long arrivedNanos) {
}
