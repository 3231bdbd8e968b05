package org.sesamedeck.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection of the first bytes of a request, before its head is whole. */
final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection mConnection;

    ByteArrivalHandler(CallerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mConnection.bytesArrived();
        context.fireChannelRead(message);
    }
}
