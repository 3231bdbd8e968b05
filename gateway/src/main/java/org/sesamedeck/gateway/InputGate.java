package org.sesamedeck.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Holds received bytes back from the HTTP decoder while the connection cannot use them: during a
 * request in progress and while a large body waits for admission. Requests that a caller sends
 * ahead are therefore kept as a few bytes and not as decoded heads. When it holds as much as the
 * bound, or memory is short, the connection is not read from; until then the end of the connection
 * is noticed.
 */
final class InputGate extends ChannelInboundHandlerAdapter {
    private static final int MAX_HELD_BYTES = 16 * 1_024;

    private final CallerConnection mConnection;
    private final ArrayDeque<ByteBuf> mHeld = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private int mHeldBytes;
    private boolean mIsOpen = true;
    private boolean mIgnoresInput;

    InputGate(CallerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    /** From now on received bytes are held back. */
    void close() {
        mIsOpen = false;
    }

    /** Passes on the bytes that were held back, until the gate is closed again. */
    void open() {
        if (mIsOpen) {
            return;
        }
        mIsOpen = true;
        while (mIsOpen && !mHeld.isEmpty()) {
            ByteBuf bytes = mHeld.poll();
            release(bytes);
            pass(bytes);
        }
        if (mIsOpen) {
            mContext.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (mIgnoresInput) {
            bytes.release();
            return;
        }
        if (mIsOpen) {
            pass(bytes);
            return;
        }
        // A small part of a large buffer keeps all of it.
        int capacity = bytes.capacity();
        boolean hasRoom = mConnection.memory().tryReserve(capacity);
        if (!hasRoom) {
            // Closing would end the request in progress; each connection exceeds by one read.
            mConnection.memory().reserve(capacity);
        }
        mHeld.add(bytes);
        mHeldBytes += capacity;
        if (!hasRoom || mHeldBytes >= MAX_HELD_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void pass(ByteBuf bytes) {
        mConnection.bytesReceived(bytes.readableBytes());
        mContext.fireChannelRead(bytes);
    }

    private void release(ByteBuf bytes) {
        mHeldBytes -= bytes.capacity();
        mConnection.memory().release(bytes.capacity());
    }

    /** Reads on and drops what is held and what still arrives. */
    void ignoreInput() {
        discard();
        mIgnoresInput = true;
        mContext.channel().config().setAutoRead(true);
    }

    /** Drops what is held; the connection releases the reserved memory. */
    void discard() {
        mIsOpen = false;
        mHeld.forEach(ByteBuf::release);
        mHeld.clear();
    }
}
