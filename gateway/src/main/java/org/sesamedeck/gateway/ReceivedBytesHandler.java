package org.sesamedeck.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a caller's connection of received bytes before they reach the HTTP decoder. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection mConnection;

    ReceivedBytesHandler(CallerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mConnection.bytesReceived();
        context.fireChannelRead(message);
    }
}
