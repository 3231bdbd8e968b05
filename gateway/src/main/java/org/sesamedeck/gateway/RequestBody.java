package org.sesamedeck.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.sesamedeck.request.ByteBlocks;

/** A request body, which is forwarded from the blocks that it was received into. */
final class RequestBody {
    private final ByteBlocks mBlocks;

    private RequestBody(ByteBlocks blocks) {
        mBlocks = blocks;
    }

    /**
     * Returns an empty body.
     *
     * @param declaredBytes the announced size; 0 if the body is empty or its size unknown
     */
    static RequestBody create(long declaredBytes) {
        return new RequestBody(ByteBlocks.create(declaredBytes));
    }

    int size() {
        return mBlocks.size();
    }

    /** Returns the memory in bytes that adding so many bytes would take beyond the present one. */
    int growth(int bytes) {
        return mBlocks.growth(bytes);
    }

    /** Adds the readable bytes of a buffer. */
    void add(ByteBuf bytes) {
        if (bytes.hasArray()) {
            int offset = bytes.arrayOffset() + bytes.readerIndex();
            mBlocks.add(bytes.array(), offset, bytes.readableBytes());
        } else {
            mBlocks.add(ByteBufUtil.getBytes(bytes), 0, bytes.readableBytes());
        }
    }

    /** Returns a buffer over the blocks. */
    ByteBuf toBuffer() {
        if (mBlocks.size() == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        byte[][] blocks = mBlocks.blocks().toArray(new byte[0][]);
        return Unpooled.wrappedBuffer(blocks.length, blocks).writerIndex(mBlocks.size());
    }
}
